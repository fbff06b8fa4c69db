set terminal svg size 640,400
set output 'returns.svg'
set datafile separator ','
set key off
set xlabel 'from SIGKILL until it answers, ms'
set ylabel 'share of returns'
set yrange [0:1]
plot 'returns.csv' every ::1 using 1:(1.0/30) smooth cumulative with steps lw 2
