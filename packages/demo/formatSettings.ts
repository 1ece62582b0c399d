import { fieldComments } from "./fieldComments";

/** Formats settings as JSON with a comment above each field. */
export function formatSettings(title: string, settings: Readonly<Record<string, unknown>>): string {
  const fields = Object.entries(settings).map(
    ([name, value]) =>
      `  // ${fieldComments[name] ?? name}\n  ${JSON.stringify(name)}: ${JSON.stringify(value)}`,
  );
  return `// Settings of ${title}.\n{\n${fields.join(",\n")}\n}\n`;
}
