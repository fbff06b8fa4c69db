set terminal svg noenhanced size 800,480 background rgb 'white'
set output 'goodput.svg'
set title 'Share of good answers'
set xlabel 'gatherers'
set ylabel 'goodput'
set key outside right
set grid
set yrange [0:*]
$d0 << END
1 0.980652
2 0.983889
4 0.983887
8 0.985145
16 0.983723
32 0.982736
64 0.982901
END
$d1 << END
1 0.957415
2 0.966646
4 0.977425
8 0.982199
16 0.982062
32 0.975056
64 0.945062
END
$d2 << END
1 0.930087
2 0.928282
4 0.925042
8 0.919668
16 0.917095
32 0.911423
64 0.886883
END
plot $d0 using 1:2 with linespoints linewidth 2 title 'module', $d1 using 1:2 with linespoints linewidth 2 title 'least-in-flight', $d2 using 1:2 with linespoints linewidth 2 title 'bare-design'
