/** The data folder is used by another process, or is gone. This process must not write to it any more. */
export class FolderLostError extends Error {
  constructor(folder: string, reason: string) {
    super(`data folder ${folder} ${reason}`);
    this.name = "FolderLostError";
  }
}
