set terminal svg size 900,360
set output 'lists.svg'
set key top left
set yrange [0:*]
set xtics rotate by -30
$memory << END
100 6.388941 6.373376 6.393856
400 7.319552 7.299072 7.340032
1300 9.750118 9.732096 9.785344
3900 17.293312 17.264640 17.313792
20000 64.352256 64.323584 64.368640
END
$whole_wait << END
100 2.558400 0.859000 3.961000
400 4.624200 1.785000 7.377000
1300 7.992400 3.083000 11.643000
3900 14.034600 7.824000 16.214000
20000 109.538000 81.465000 142.410000
END
$whole_cpu << END
100 0.618308 0.533692 0.679870
400 1.642622 1.398124 2.160457
1300 6.303630 5.819904 6.764354
3900 16.216223 12.144184 19.349420
20000 94.098497 80.415329 124.683927
END
$change_cpu << END
100 0.104212 0.091299 0.115671
400 0.105126 0.095599 0.114056
1300 0.136260 0.100694 0.163063
3900 0.189397 0.159138 0.224374
20000 0.980664 0.813715 1.230858
END
set multiplot layout 1,3
set xlabel 'servers listed'
set ylabel 'MB'
plot $memory using 1:2:3:4 with yerrorlines lw 2 title 'memory'
set xlabel 'servers listed'
set ylabel 'ms'
plot $whole_wait using 1:2:3:4 with yerrorlines lw 2 title 'longest wait', $whole_cpu using 1:2:3:4 with yerrorlines lw 2 title 'CPU of a whole list'
set xlabel 'servers listed'
set ylabel 'ms'
plot $change_cpu using 1:2:3:4 with yerrorlines lw 2 title 'CPU of a change'
unset multiplot
