/** Stored state that is corrupt or incomplete. The process must not start with it. */
export class StorageError extends Error {
  readonly file: string;
  /** Byte offset of the error; null when it concerns the whole file. */
  readonly offset: number | null;

  constructor(file: string, offset: number | null, reason: string) {
    super(offset === null ? `${file}: ${reason}` : `${file}: ${reason} at byte ${offset}`);
    this.name = "StorageError";
    this.file = file;
    this.offset = offset;
  }
}
