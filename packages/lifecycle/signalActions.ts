import { SignalAction } from "./SignalAction";

/**
 * Signals that a process handles. Not listed are those that report a fault of the program itself, SIGUSR1, which Node
 * keeps for its debugger, and SIGPIPE and SIGXFSZ, which Node ignores.
 */
export const signalActions: Readonly<Partial<Record<NodeJS.Signals, SignalAction>>> = {
  SIGTERM: SignalAction.Stop,
  SIGINT: SignalAction.Stop,
  SIGHUP: SignalAction.Ignore,
  SIGQUIT: SignalAction.Ignore,
  SIGUSR2: SignalAction.Ignore,
  SIGALRM: SignalAction.Ignore,
  SIGVTALRM: SignalAction.Ignore,
  SIGPROF: SignalAction.Ignore,
  SIGXCPU: SignalAction.Ignore,
  SIGIO: SignalAction.Ignore,
  SIGPWR: SignalAction.Ignore,
  SIGSTKFLT: SignalAction.Ignore,
};
