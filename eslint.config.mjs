import tseslint from "typescript-eslint";

export default tseslint.config(
  { ignores: ["dist/", "target/", "build/", "node_modules/", ".tap/", "scripts/", "eslint.config.mjs"] },
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      curly: ["error", "all"],
      eqeqeq: "error",
      "max-lines": ["error", { max: 400 }],
      "@typescript-eslint/consistent-type-imports": "error",
      "@typescript-eslint/restrict-template-expressions": [
        "error",
        { allowNumber: true, allowBoolean: true },
      ],
    },
  },
  {
    files: ["packages/*/test/**", "platform/test/**"],
    rules: {
      "@typescript-eslint/no-floating-promises": "off",
      "@typescript-eslint/no-non-null-assertion": "off",
    },
  },
);
