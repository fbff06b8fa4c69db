set terminal svg size 900,360
set output 'lists.svg'
set key top left
set yrange [0:*]
set xtics rotate by -30
$memory << END
100 6.379140 6.361100 6.393900
400 7.308080 7.262200 7.335900
1300 9.745200 9.691100 9.789400
3900 17.305600 17.293000 17.314000
20000 64.347600 64.324000 64.373000
END
$memory_after << END
100 6.383240 6.365200 6.398000
400 7.534180 7.487500 7.561200
1300 11.169200 11.117000 11.211000
3900 21.311600 21.299000 21.320000
20000 85.763600 85.725000 85.795000
END
$whole_wait << END
100 1.205200 0.809000 1.563000
400 2.275200 1.805000 3.075000
1300 4.988800 3.645000 6.393000
3900 26.971200 17.172000 41.306000
20000 196.024000 139.430000 315.250000
END
$whole_cpu << END
100 0.709848 0.567160 0.899790
400 1.963340 1.489400 2.243200
1300 5.582420 4.435300 6.760100
3900 20.236400 15.201000 22.980000
20000 125.096000 117.590000 134.170000
END
$change_cpu << END
100 0.105828 0.089341 0.132360
400 0.111424 0.104390 0.119100
1300 0.130046 0.116580 0.141560
3900 0.219696 0.180820 0.245730
20000 1.148114 0.933670 1.266000
END
set multiplot layout 1,3
set xlabel 'servers listed'
set ylabel 'MB'
plot $memory using 1:2:3:4 with yerrorlines lw 2 title 'at first', $memory_after using 1:2:3:4 with yerrorlines lw 2 title 'after many lists'
set xlabel 'servers listed'
set ylabel 'ms'
plot $whole_wait using 1:2:3:4 with yerrorlines lw 2 title 'longest wait', $whole_cpu using 1:2:3:4 with yerrorlines lw 2 title 'CPU of a whole list'
set xlabel 'servers listed'
set ylabel 'ms'
plot $change_cpu using 1:2:3:4 with yerrorlines lw 2 title 'CPU of a change'
unset multiplot
