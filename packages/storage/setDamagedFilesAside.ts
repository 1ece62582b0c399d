import { randomUUID } from "node:crypto";
import { mkdir, readdir, rename, stat } from "node:fs/promises";
import { dirname, join } from "node:path";
import type { DiskOperations } from "./DiskOperations";
import { FolderFence } from "./FolderFence";
import { damagedPrefix } from "./damagedPrefix";
import { isGroupFile } from "./isGroupFile";

const identityName = "identity";

/**
 * Renames the files of a damaged replica, so that a new one can be created. None is removed. The identity goes first: a
 * process that starts in between, also after a loss of power, finds no replica to act as. A file in the place of the folder
 * is kept in the new folder. Returns the new names.
 */
export async function setDamagedFilesAside(
  folder: string,
  disk: DiskOperations,
  wallMs: number,
): Promise<readonly string[]> {
  const time = new Date(wallMs).toISOString().replace(/[-:.]/g, "");
  const prefix = `${damagedPrefix}${time}-${randomUUID().slice(0, 8)}-`;
  if (!(await stat(folder)).isDirectory()) {
    await moveIntoFolder(folder, `${prefix}folder`, disk);
    return [`${prefix}folder`];
  }
  const fence = new FolderFence(folder, disk);
  await fence.claim();
  await fence.close();
  const names = (await readdir(folder)).filter(isGroupFile);
  await renameAll(
    folder,
    names.filter((name) => name === identityName),
    prefix,
  );
  await disk.syncFolder(folder);
  await renameAll(
    folder,
    names.filter((name) => name !== identityName),
    prefix,
  );
  await disk.syncFolder(folder);
  return names.map((name) => prefix + name);
}

async function renameAll(folder: string, names: readonly string[], prefix: string): Promise<void> {
  await Promise.all(names.map((name) => rename(join(folder, name), join(folder, prefix + name))));
}

/** Puts a folder with a file in it in the place of the file. */
async function moveIntoFolder(path: string, name: string, disk: DiskOperations): Promise<void> {
  const folder = `${path}.${name}`;
  await mkdir(folder);
  await rename(path, join(folder, name));
  await disk.syncFolder(folder);
  await rename(folder, path);
  await disk.syncFolder(dirname(path));
}
