/** Runs a handler of a request; an exception ends that request only. */
export type Guard = (action: () => void) => void;
