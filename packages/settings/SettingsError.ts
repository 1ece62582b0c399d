/** One error in a settings file. */
export class SettingsError extends Error {
  readonly file: string;
  /** 1-based; 0 when the error has no position in the file. */
  readonly line: number;
  readonly field: string;

  constructor(file: string, line: number, field: string, message: string) {
    super(`${file}:${line}: ${field === "" ? "" : `${field}: `}${message}`);
    this.name = "SettingsError";
    this.file = file;
    this.line = line;
    this.field = field;
  }
}
