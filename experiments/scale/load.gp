set terminal svg size 900,360
set output 'load.svg'
set key top left
set yrange [0:*]
set xtics rotate by -30
$part_cpu_at_20 << END
300 28.632667 26.958000 30.284000
900 37.852667 35.984000 40.758000
3900 119.026667 104.610000 141.970000
END
$part_cpu_at_40 << END
300 29.963667 27.997000 31.769000
900 46.688000 45.669000 47.844000
3900 129.180000 107.350000 141.660000
END
$part_cpu_at_150 << END
300 21.302667 18.984000 23.305000
900 38.400000 35.980000 39.651000
3900 78.725667 71.740000 91.753000
END
$p50_at_150 << END
300 13.567000 13.311000 13.759000
900 15.465667 15.167000 15.679000
3900 88.575500 38.911000 138.240000
END
$p99_at_150 << END
300 21.503000 18.815000 23.807000
900 31.401667 23.551000 36.607000
3900 339.965000 270.330000 409.600000
END
$core_at_3900_servers << END
1180 0.133583 0.120200 0.151560
2360 0.288983 0.241330 0.314250
8850 0.693667 0.630070 0.799990
END
set multiplot layout 1,3
set xlabel 'servers'
set ylabel 'us of CPU a part'
plot $part_cpu_at_20 using 1:2:3:4 with yerrorlines lw 2 title '20/s', $part_cpu_at_40 using 1:2:3:4 with yerrorlines lw 2 title '40/s', $part_cpu_at_150 using 1:2:3:4 with yerrorlines lw 2 title '150/s'
set xlabel 'servers'
set ylabel 'ms'
plot $p50_at_150 using 1:2:3:4 with yerrorlines lw 2 title 'p50 at 150/s', $p99_at_150 using 1:2:3:4 with yerrorlines lw 2 title 'p99 at 150/s'
set xlabel 'parts a second'
set ylabel 'share of a core'
plot $core_at_3900_servers using 1:2:3:4 with yerrorlines lw 2 title 'at 3,900 servers'
unset multiplot
