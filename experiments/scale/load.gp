set terminal svg size 900,360
set output 'load.svg'
set key top left
set yrange [0:*]
set xtics rotate by -30
$part_cpu_at_20 << END
300 38.147000 33.363000 43.421000
900 48.079667 43.503000 52.660000
3900 111.730000 100.260000 126.120000
END
$part_cpu_at_40 << END
300 37.277667 36.250000 38.876000
900 45.371333 40.662000 50.393000
3900 124.403333 114.410000 131.680000
END
$part_cpu_at_150 << END
300 25.885333 20.955000 30.061000
900 37.989000 37.003000 38.684000
3900 102.837000 89.371000 109.900000
END
$p50_at_150 << END
300 12.756333 12.671000 12.927000
900 14.249667 13.567000 14.975000
3900 149.030333 26.751000 290.810000
END
$p99_at_150 << END
300 15.892333 14.847000 17.023000
900 22.015000 17.535000 24.703000
3900 338.946667 171.010000 536.580000
END
$core_at_3900_servers << END
1180 0.125730 0.105400 0.144960
2360 0.280713 0.256890 0.298170
8850 0.904073 0.772420 0.982800
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
