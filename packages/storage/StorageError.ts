/** Stored state that cannot be trusted. The process must not start with it. */
export class StorageError extends Error {
  readonly file: string;
  /** Byte offset of the fault; null when the fault concerns the whole file. */
  readonly offset: number | null;

  constructor(file: string, offset: number | null, why: string) {
    super(offset === null ? `${file}: ${why}` : `${file}: ${why} at byte ${offset}`);
    this.name = "StorageError";
    this.file = file;
    this.offset = offset;
  }
}
