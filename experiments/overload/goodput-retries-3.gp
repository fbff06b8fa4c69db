set terminal svg noenhanced size 800,480 background rgb 'white'
set output 'goodput-retries-3.svg'
set title 'Good answers a second, clients ask again 3 times'
set xlabel 'offered'
set ylabel 'good_rate'
set key outside right
set grid
set yrange [0:*]
$d0 << END
0.5 110.9
0.75 166.833
0.9 186.583
1 188.317
1.25 171.983
1.5 167
2 179.6
2.5 182.217
3 190.867
END
$d1 << END
0.5 110.983
0.75 167.883
0.9 200.983
1 217.2
1.25 0
1.5 0
2 0
2.5 0
3 0
END
$d2 << END
0.5 111.017
0.75 167.867
0.9 200.833
1 207.55
1.25 0
1.5 0
2 0
2.5 0
3 0
END
plot $d0 using 1:2 with linespoints linewidth 2 title 'module', $d1 using 1:2 with linespoints linewidth 2 title 'two-choices', $d2 using 1:2 with linespoints linewidth 2 title 'bare-design'
