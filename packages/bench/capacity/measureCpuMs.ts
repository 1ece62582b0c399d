const repeats = 5;

/**
 * Processor time of the work in milliseconds: the lowest of several runs after one to compile the code. Other
 * processes on the machine can only add to it. `prepare` runs before each and is not counted.
 */
export function measureCpuMs<Prepared>(prepare: () => Prepared, work: (prepared: Prepared) => void): number {
  const times = Array.from({ length: repeats + 1 }, () => {
    const prepared = prepare();
    const start = process.cpuUsage();
    work(prepared);
    const { user, system } = process.cpuUsage(start);
    return (user + system) / 1000;
  });
  return Math.min(...times.slice(1));
}
