import { ProcessSignals } from "./ProcessSignals";

interface SharedSignals {
  clementinemuxSignals?: ProcessSignals;
}

/**
 * Returns the signals of this process. The first call installs the handlers. A loader and the program that it runs are
 * bundled apart and share them.
 */
export function getProcessSignals(): ProcessSignals {
  const shared = globalThis as SharedSignals;
  shared.clementinemuxSignals ??= new ProcessSignals(process);
  return shared.clementinemuxSignals;
}
