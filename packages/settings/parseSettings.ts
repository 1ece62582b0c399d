import { findNodeAtLocation, parseTree, printParseErrorCode } from "jsonc-parser";
import type { Node, ParseError } from "jsonc-parser";
import { Left, Right } from "purify-ts/Either";
import type { Either } from "purify-ts/Either";
import type * as z from "zod";
import { SettingsError } from "./SettingsError";
import { describeIssue } from "./describeIssue";

const byteOrderMark = "\uFEFF";

/**
 * Parses JSON with comments, with or without a byte-order mark, and validates it against a schema. Reports every error
 * with its line.
 */
export function parseSettings<Schema extends z.ZodType>(
  file: string,
  markedText: string,
  schema: Schema,
): Either<readonly SettingsError[], z.output<Schema>> {
  const text = markedText.startsWith(byteOrderMark) ? markedText.slice(byteOrderMark.length) : markedText;
  const parseErrors: ParseError[] = [];
  const tree = parseTree(text, parseErrors, { allowTrailingComma: true });
  if (parseErrors.length > 0 || tree === undefined) {
    const errors = parseErrors.map(
      ({ error, offset }) => new SettingsError(file, getLine(text, offset), "", printParseErrorCode(error)),
    );
    return Left(errors.length > 0 ? errors : [new SettingsError(file, 1, "", "file is empty")]);
  }
  const duplicates = findDuplicates(file, text, tree, "");
  if (duplicates.length > 0) {
    return Left(duplicates);
  }
  // Settings are parsed only once, so generating code for their schema would cost more than it saves.
  const parsed = schema.safeParse(getPlainValue(tree), { jitless: true });
  if (parsed.success) {
    return Right(parsed.data);
  }
  return Left(
    parsed.error.issues.flatMap((issue) =>
      describeIssue(issue, schema).map(({ path, message }) => {
        const offset = findOffset(tree, path);
        return new SettingsError(file, getLine(text, offset), path.join("."), message);
      }),
    ),
  );
}

function getLine(text: string, offset: number): number {
  return text.slice(0, offset).split("\n").length;
}

/** Finds the offset of a field, or of the nearest enclosing object when the field is missing. */
function findOffset(tree: Node, path: readonly (string | number)[]): number {
  for (let length = path.length; length > 0; length -= 1) {
    const node = findNodeAtLocation(tree, path.slice(0, length));
    if (node !== undefined) {
      return (node.parent?.type === "property" ? node.parent : node).offset;
    }
  }
  return tree.offset;
}

function findDuplicates(file: string, text: string, node: Node, path: string): SettingsError[] {
  const seenKeys = new Set<string>();
  return (node.children ?? []).flatMap((child) => {
    if (node.type !== "object") {
      return findDuplicates(file, text, child, path);
    }
    const [keyNode, valueNode] = child.children ?? [];
    const key = String(keyNode?.value);
    const field = path === "" ? key : `${path}.${key}`;
    const nested = valueNode === undefined ? [] : findDuplicates(file, text, valueNode, field);
    if (seenKeys.has(key)) {
      return [new SettingsError(file, getLine(text, child.offset), field, "field is given twice"), ...nested];
    }
    seenKeys.add(key);
    return nested;
  });
}

function getPlainValue(node: Node): unknown {
  if (node.type === "array") {
    return (node.children ?? []).map(getPlainValue);
  }
  if (node.type === "object") {
    return Object.fromEntries(
      (node.children ?? []).map((property) => {
        const [key, value] = property.children ?? [];
        return [String(key?.value), value === undefined ? undefined : getPlainValue(value)];
      }),
    );
  }
  return node.value as unknown;
}
