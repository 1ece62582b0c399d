/** Pace of ranks that run no passes or answer nobody: they are the last choice, since what is sent there waits in vain. */
export const stoppedPace = 8;
