/* Walks over every choice of every world (worlds.h). What breaks is an assertion, a world that is stuck an invalid end
   state, and one that goes round for ever a non-progress cycle: in these worlds faults are bounded, so none may. Spin
   takes every call in an expression for a side effect, so the calls are behind names. */
c_decl {
  extern int explore_begin(void);
  extern int explore_can(int, int);
  extern int explore_step(int, int);
  extern int explore_broken(int);
  extern int explore_rests(int);
  \#define CAN_0 explore_can(now.world, 0)
  \#define CAN_1 explore_can(now.world, 1)
  \#define CAN_2 explore_can(now.world, 2)
  \#define CAN_3 explore_can(now.world, 3)
  \#define CAN_4 explore_can(now.world, 4)
  \#define CAN_5 explore_can(now.world, 5)
  \#define CAN_6 explore_can(now.world, 6)
  \#define CAN_7 explore_can(now.world, 7)
  \#define CAN_8 explore_can(now.world, 8)
  \#define CAN_9 explore_can(now.world, 9)
  \#define CAN_10 explore_can(now.world, 10)
  \#define CAN_11 explore_can(now.world, 11)
  \#define CAN_12 explore_can(now.world, 12)
  \#define CAN_13 explore_can(now.world, 13)
  \#define CAN_14 explore_can(now.world, 14)
  \#define CAN_15 explore_can(now.world, 15)
  \#define CAN_16 explore_can(now.world, 16)
  \#define CAN_17 explore_can(now.world, 17)
  \#define CAN_18 explore_can(now.world, 18)
  \#define CAN_19 explore_can(now.world, 19)
  \#define CAN_20 explore_can(now.world, 20)
  \#define CAN_21 explore_can(now.world, 21)
  \#define CAN_22 explore_can(now.world, 22)
  \#define CAN_23 explore_can(now.world, 23)
  \#define CAN_24 explore_can(now.world, 24)
  \#define CAN_25 explore_can(now.world, 25)
  \#define CAN_26 explore_can(now.world, 26)
  \#define CAN_27 explore_can(now.world, 27)
  \#define CAN_28 explore_can(now.world, 28)
  \#define CAN_29 explore_can(now.world, 29)
  \#define CAN_30 explore_can(now.world, 30)
  \#define CAN_31 explore_can(now.world, 31)
  \#define CAN_32 explore_can(now.world, 32)
  \#define CAN_33 explore_can(now.world, 33)
  \#define CAN_34 explore_can(now.world, 34)
  \#define CAN_35 explore_can(now.world, 35)
  \#define CAN_36 explore_can(now.world, 36)
  \#define CAN_37 explore_can(now.world, 37)
  \#define CAN_38 explore_can(now.world, 38)
  \#define CAN_39 explore_can(now.world, 39)
  \#define CAN_40 explore_can(now.world, 40)
  \#define CAN_41 explore_can(now.world, 41)
  \#define CAN_42 explore_can(now.world, 42)
  \#define CAN_43 explore_can(now.world, 43)
  \#define CAN_44 explore_can(now.world, 44)
  \#define CAN_45 explore_can(now.world, 45)
  \#define CAN_46 explore_can(now.world, 46)
  \#define CAN_47 explore_can(now.world, 47)
  \#define CAN_48 explore_can(now.world, 48)
  \#define CAN_49 explore_can(now.world, 49)
  \#define CAN_50 explore_can(now.world, 50)
  \#define CAN_51 explore_can(now.world, 51)
  \#define CAN_52 explore_can(now.world, 52)
  \#define CAN_53 explore_can(now.world, 53)
  \#define CAN_54 explore_can(now.world, 54)
  \#define CAN_55 explore_can(now.world, 55)
  \#define CAN_56 explore_can(now.world, 56)
  \#define CAN_57 explore_can(now.world, 57)
  \#define CAN_58 explore_can(now.world, 58)
  \#define CAN_59 explore_can(now.world, 59)
  \#define CAN_60 explore_can(now.world, 60)
  \#define CAN_61 explore_can(now.world, 61)
  \#define CAN_62 explore_can(now.world, 62)
  \#define CAN_63 explore_can(now.world, 63)
  \#define BROKEN explore_broken(now.world)
  \#define RESTS explore_rests(now.world)
}
c_state "int world" "Global"

#define CHOICE(can, i) :: c_expr { can } -> c_code { now.world = explore_step(now.world, i); }

active proctype all() {
  c_code { now.world = explore_begin(); };
  do
  CHOICE(CAN_0, 0) CHOICE(CAN_1, 1) CHOICE(CAN_2, 2) CHOICE(CAN_3, 3)
  CHOICE(CAN_4, 4) CHOICE(CAN_5, 5) CHOICE(CAN_6, 6) CHOICE(CAN_7, 7)
  CHOICE(CAN_8, 8) CHOICE(CAN_9, 9) CHOICE(CAN_10, 10) CHOICE(CAN_11, 11)
  CHOICE(CAN_12, 12) CHOICE(CAN_13, 13) CHOICE(CAN_14, 14) CHOICE(CAN_15, 15)
  CHOICE(CAN_16, 16) CHOICE(CAN_17, 17) CHOICE(CAN_18, 18) CHOICE(CAN_19, 19)
  CHOICE(CAN_20, 20) CHOICE(CAN_21, 21) CHOICE(CAN_22, 22) CHOICE(CAN_23, 23)
  CHOICE(CAN_24, 24) CHOICE(CAN_25, 25) CHOICE(CAN_26, 26) CHOICE(CAN_27, 27)
  CHOICE(CAN_28, 28) CHOICE(CAN_29, 29) CHOICE(CAN_30, 30) CHOICE(CAN_31, 31)
  CHOICE(CAN_32, 32) CHOICE(CAN_33, 33) CHOICE(CAN_34, 34) CHOICE(CAN_35, 35)
  CHOICE(CAN_36, 36) CHOICE(CAN_37, 37) CHOICE(CAN_38, 38) CHOICE(CAN_39, 39)
  CHOICE(CAN_40, 40) CHOICE(CAN_41, 41) CHOICE(CAN_42, 42) CHOICE(CAN_43, 43)
  CHOICE(CAN_44, 44) CHOICE(CAN_45, 45) CHOICE(CAN_46, 46) CHOICE(CAN_47, 47)
  CHOICE(CAN_48, 48) CHOICE(CAN_49, 49) CHOICE(CAN_50, 50) CHOICE(CAN_51, 51)
  CHOICE(CAN_52, 52) CHOICE(CAN_53, 53) CHOICE(CAN_54, 54) CHOICE(CAN_55, 55)
  CHOICE(CAN_56, 56) CHOICE(CAN_57, 57) CHOICE(CAN_58, 58) CHOICE(CAN_59, 59)
  CHOICE(CAN_60, 60) CHOICE(CAN_61, 61) CHOICE(CAN_62, 62) CHOICE(CAN_63, 63)
  :: c_expr { BROKEN } -> assert(false)
  :: c_expr { RESTS } -> break
  od
}
