/** What a bench is started with. */
export interface BenchContext {
  /** Folder of the bundled programs. */
  readonly programs: string;
  /** Arguments after the bench's name that are not options. */
  readonly args: readonly string[];
  /** Options of the form `--NAME=VALUE`, by name. */
  readonly options: Readonly<Record<string, string>>;
}
