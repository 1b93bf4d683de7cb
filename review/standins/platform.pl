# The platform's side of a held listener: holds the clients' listening socket and starts programs that inherit it as descriptor 0.
# One line on standard input starts one: the file for its output, a tab, the command. The answer is its process id.
use strict;
use IO::Socket::INET;
$| = 1;
my $listener = IO::Socket::INET->new(Listen => 512, LocalAddr => '127.0.0.1', LocalPort => $ARGV[0], ReuseAddr => 1) or die;
print $listener->sockport, "\n";
$SIG{CHLD} = 'IGNORE';
while (my $line = <STDIN>) {
    chomp $line;
    my ($log, $command) = split /\t/, $line, 2;
    my $pid = fork;
    if ($pid == 0) {
        open(STDIN, '<&', $listener) or die;
        open(STDOUT, '>>', $log) or die;
        open(STDERR, '>&STDOUT') or die;
        exec '/bin/sh', '-c', $command;
    }
    print "$pid\n";
}
