/** Small events that a stream may deliver per second for long; engines send tens. */
export const eventsPerS = 1000;
