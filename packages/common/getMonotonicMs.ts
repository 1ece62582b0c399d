const [originS] = process.hrtime();

/** Returns the system's monotonic time, in milliseconds since about the start of the process. */
export function getMonotonicMs(): number {
  const [seconds, nanoseconds] = process.hrtime();
  return (seconds - originS) * 1000 + nanoseconds / 1e6;
}
