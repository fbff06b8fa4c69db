set terminal svg noenhanced size 800,480 background rgb 'white'
set output 'goodput-lose-in-384.svg'
set title 'Share of good answers, 384 servers, lose-in'
set xlabel 'lost'
set ylabel 'goodput'
set key outside right
set grid
set yrange [0:*]
$d0 << END
0.02 0.991207
0.1 0.979951
0.3 0.973859
1 0.976304
END
$d1 << END
0.02 0.975568
0.1 0.908805
0.3 0.81009
1 0.740569
END
plot $d0 using 1:2 with linespoints linewidth 2 title 'module', $d1 using 1:2 with linespoints linewidth 2 title 'two-choices'
