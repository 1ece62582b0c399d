import type { BenchContext } from "./BenchContext";

/** Loads each bench by its name. A bench returns its figures as a JSON object. */
export const benches: Readonly<
  Record<string, () => Promise<(context: BenchContext) => Promise<object> | object>>
> = {
  control: async () => {
    const { runControlBench } = await import("./control/runControlBench");
    return ({ programs }) => runControlBench(programs);
  },
  experts: async () => {
    const { runExpertsBench } = await import("./experts/runExpertsBench");
    const { writeSkewCharts } = await import("./experts/writeSkewCharts");
    return ({ args, options }) => {
      const result = runExpertsBench(args[0], Number(options.seed ?? 77));
      writeSkewCharts(result.scenarios, options.out);
      return result;
    };
  },
  "lead-memory": async () => {
    const { measureLeadMemory } = await import("./experts/measureLeadMemory");
    return ({ programs, options }) =>
      measureLeadMemory(programs, options.flags === undefined ? [] : options.flags.split(" "));
  },
};
