set terminal svg noenhanced size 800,480 background rgb 'white'
set output 'goodput.svg'
set title 'Share of good answers'
set xlabel 'gatherers'
set ylabel 'goodput'
set key outside right
set grid
set yrange [0:*]
$d0 << END
8 0.994685
48 0.993701
300 0.996266
1000 0.994892
END
$d1 << END
8 0.991589
48 0.990984
300 0.993551
1000 0.992043
END
$d2 << END
8 0.990108
48 0.989852
300 0.991934
1000 0.990294
END
$d3 << END
8 0.988375
48 0.988616
300 0.990817
1000 0.980785
END
$d4 << END
8 0.930858
48 0.932528
300 0.937328
1000 0.937323
END
$d5 << END
8 0.994029
48 0.993788
300 0.996036
1000 0.99407
END
plot $d0 using 1:2 with linespoints linewidth 2 title 'nothing', $d1 using 1:2 with linespoints linewidth 2 title 'half', $d2 using 1:2 with linespoints linewidth 2 title 'most', $d3 using 1:2 with linespoints linewidth 2 title 'all', $d4 using 1:2 with linespoints linewidth 2 title 'most-keepers-late', $d5 using 1:2 with linespoints linewidth 2 title 'swaps'
