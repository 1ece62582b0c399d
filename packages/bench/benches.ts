/** Loads each bench by its name. A bench returns its figures by name. */
export const benches: Readonly<
  Record<string, () => Promise<(programs: string) => Promise<Readonly<Record<string, number>>>>>
> = {
  control: async () => (await import("./control/runControlBench")).runControlBench,
};
