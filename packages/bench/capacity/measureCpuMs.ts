const runCount = 5;

/**
 * Returns the processor time of the work in milliseconds: the lowest of several runs after a warm-up run that
 * compiles the code. The lowest is used because other processes on the machine can only add time. `prepare`
 * runs before each run and is not counted.
 */
export function measureCpuMs<Prepared>(prepare: () => Prepared, work: (prepared: Prepared) => void): number {
  const times = Array.from({ length: runCount + 1 }, () => {
    const prepared = prepare();
    const start = process.cpuUsage();
    work(prepared);
    const { user, system } = process.cpuUsage(start);
    return (user + system) / 1000;
  });
  return Math.min(...times.slice(1));
}
