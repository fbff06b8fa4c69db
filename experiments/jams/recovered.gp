set terminal svg noenhanced size 800,480 background rgb 'white'
set output 'recovered.svg'
set title 'Seconds until nine of ten are good again, four times the load'
set xlabel 'servers'
set ylabel 'recovered_s'
set key outside right
set grid
set yrange [0:*]
$d0 << END
24 0
96 0
384 0
END
$d1 << END
24 6.33333
96 3
384 3
END
$d2 << END
24 6.33333
96 3
384 3
END
plot $d0 using 1:2 with linespoints linewidth 2 title 'module', $d1 using 1:2 with linespoints linewidth 2 title 'two-choices', $d2 using 1:2 with linespoints linewidth 2 title 'bare-design'
