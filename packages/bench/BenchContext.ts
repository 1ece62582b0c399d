/** Arguments of a bench run. */
export interface BenchContext {
  /** Folder of the bundled programs. */
  readonly programs: string;
  /** Positional arguments after the name of the bench. */
  readonly args: readonly string[];
  /** Options of the form `--NAME=VALUE`, by name. */
  readonly options: Readonly<Record<string, string>>;
}
