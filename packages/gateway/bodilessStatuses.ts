/** Statuses whose responses have no body. */
export const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);
