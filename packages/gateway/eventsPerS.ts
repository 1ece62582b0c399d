/** Rate at which a stream that has used its burst delivers small events. A working engine sends tens of them per second. */
export const eventsPerS = 1000;
