set terminal svg noenhanced size 800,480 background rgb 'white'
set output 'recovery.svg'
set title 'Seconds until nine of ten are good again'
set xlabel 'cold_s'
set ylabel 'recovered_s'
set key outside right
set grid
set yrange [0:*]
$d0 << END
1 0
6 0
15 0.333333
END
$d1 << END
1 0.666667
6 1
15 2.33333
END
$d2 << END
1 0
6 2
15 5.33333
END
plot $d0 using 1:2 with linespoints linewidth 2 title 'module', $d1 using 1:2 with linespoints linewidth 2 title 'two-choices', $d2 using 1:2 with linespoints linewidth 2 title 'bare-design'
