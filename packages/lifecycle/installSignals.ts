import { getProcessSignals } from "./getProcessSignals";

// The first import of each daemon, so that signals are handled before the other modules are evaluated.
getProcessSignals();
