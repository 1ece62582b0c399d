/** Number of requests that wait for a slot, by service and priority. Services without any are left out. */
export type WaitingDemand = Readonly<Record<string, Readonly<Record<string, number>>>>;
