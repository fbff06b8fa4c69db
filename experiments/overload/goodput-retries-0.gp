set terminal svg noenhanced size 800,480 background rgb 'white'
set output 'goodput-retries-0.svg'
set title 'Good answers a second, clients ask again 0 times'
set xlabel 'offered'
set ylabel 'good_rate'
set key outside right
set grid
set yrange [0:*]
$d0 << END
0.5 110.85
0.75 161.767
0.9 177.2
1 183.917
1.25 197.967
1.5 205.8
2 232.233
2.5 251.383
3 268.133
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
