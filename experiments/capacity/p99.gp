set terminal svg noenhanced size 800,480 background rgb 'white'
set output 'p99.svg'
set title '99th percentile in us, module, all parts needed, half used'
set xlabel 'work_ms'
set ylabel 'p99_us'
set key outside right
set grid
set yrange [0:*]
$d0 << END
2 25901
5 32162.3
10 35164
END
$d1 << END
2 39171.3
5 59557
10 87154.3
END
$d2 << END
2 72976.7
5 86321
10 91357.7
END
plot $d0 using 1:2 with linespoints linewidth 2 title 'constant', $d1 using 1:2 with linespoints linewidth 2 title 'exponential', $d2 using 1:2 with linespoints linewidth 2 title 'lognormal'
