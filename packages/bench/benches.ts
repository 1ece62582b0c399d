type Bench = (programs: string, options: readonly string[]) => Promise<Readonly<Record<string, unknown>>>;

/** Loads each bench by its name. A bench gets the folder of the programs and its options, and returns its figures. */
export const benches: Readonly<Record<string, () => Promise<Bench>>> = {
  control: async () => (await import("./control/runControlBench")).runControlBench,
  capacity: async () => (await import("./capacity/runCapacityBench")).runCapacityBench,
};
