set terminal svg noenhanced size 800,480 background rgb 'white'
set output 'imbalance.svg'
set title 'Largest over mean number of parts a server'
set xlabel 'gatherers'
set ylabel 'imbalance'
set key outside right
set grid
set yrange [0:*]
$d0 << END
1 1.21785
2 1.15112
4 1.10649
8 1.08149
16 1.08531
32 1.106
64 1.07417
END
$d1 << END
1 1.10936
2 1.06738
4 1.06802
8 1.05817
16 1.07633
32 1.06736
64 1.094
END
$d2 << END
1 1.06133
2 1.05286
4 1.05365
8 1.04798
16 1.0498
32 1.04872
64 1.05261
END
plot $d0 using 1:2 with linespoints linewidth 2 title 'module', $d1 using 1:2 with linespoints linewidth 2 title 'least-in-flight', $d2 using 1:2 with linespoints linewidth 2 title 'bare-design'
