/** Crashes of one service within this time may have one cause outside of the requests, as the loss of a rack. */
export const sameCauseMs = 2000;
