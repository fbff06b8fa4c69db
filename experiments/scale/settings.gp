set terminal svg size 900,360
set output 'settings.svg'
set key top left
set yrange [0:*]
set xtics rotate by -30
$ordinary_p50 << END
100 0.026545 0.022300 0.030790
300 0.028207 0.020732 0.035683
910 0.042519 0.023906 0.052344
END
$ordinary_p99 << END
100 0.050036 0.038292 0.061780
300 0.050743 0.050526 0.050961
910 0.086900 0.056858 0.108120
END
$ordinary_last << END
100 0.050036 0.038292 0.061780
300 0.057912 0.056862 0.058962
910 0.095466 0.078520 0.110210
END
$node_lost_last << END
100 0.107079 0.020470 0.486860
300 0.112440 0.021458 0.480120
910 0.085386 0.054281 0.187490
END
$control_core_by_node << END
20 0.001446 0.001347 0.001545
60 0.002844 0.002696 0.002993
182 0.006712 0.006462 0.006875
END
$ordinary_bytes << END
100 112.745000 109.400000 116.090000
300 113.350000 111.640000 115.060000
910 112.246667 109.640000 116.730000
END
$worst_minute_bytes << END
100 103.770000 103.770000 103.770000
300 107.870000 107.870000 107.870000
910 130.250000 130.250000 130.250000
END
set multiplot layout 1,3
set xlabel 'receivers'
set ylabel 's from agreed until in force'
plot $ordinary_p50 using 1:2:3:4 with yerrorlines lw 2 title '50 in 100', $ordinary_p99 using 1:2:3:4 with yerrorlines lw 2 title '99 in 100', $ordinary_last using 1:2:3:4 with yerrorlines lw 2 title 'all', $node_lost_last using 1:2:3:4 with yerrorlines lw 2 title 'all; a node dies'
set xlabel 'receivers at a node'
set ylabel 'share of a core'
plot $control_core_by_node using 1:2:3:4 with yerrorlines lw 2 title '2300 changes a day'
set xlabel 'receivers'
set ylabel 'bytes/s of a receiver'
plot $ordinary_bytes using 1:2:3:4 with yerrorlines lw 2 title 'mean', $worst_minute_bytes using 1:2:3:4 with yerrorlines lw 2 title 'worst minute'
unset multiplot
