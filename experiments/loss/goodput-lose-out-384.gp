set terminal svg noenhanced size 800,480 background rgb 'white'
set output 'goodput-lose-out-384.svg'
set title 'Share of good answers, 384 servers, lose-out'
set xlabel 'lost'
set ylabel 'goodput'
set key outside right
set grid
set yrange [0:*]
$d0 << END
0.02 0.991303
0.1 0.978936
0.3 0.973503
1 0.977411
END
$d1 << END
0.02 0.975715
0.1 0.909854
0.3 0.810927
1 0.740757
END
plot $d0 using 1:2 with linespoints linewidth 2 title 'module', $d1 using 1:2 with linespoints linewidth 2 title 'two-choices'
