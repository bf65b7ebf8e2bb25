import eslint from "@eslint/js";
import tseslint from "typescript-eslint";
import { createVerbRule } from "./scripts/lintVerbs.mjs";

const verbRule = createVerbRule(new URL("./docs/verbs.md", import.meta.url));

export default tseslint.config(
    { ignores: ["dist", "target", "node_modules", "docs"] },
    eslint.configs.recommended,
    ...tseslint.configs.recommended,
    {
        files: ["**/*.mjs"],
        languageOptions: { globals: { process: "readonly", URL: "readonly" } },
    },
    {
        files: ["src/**/*.ts", "bench/**/*.ts", "platform/**/*.ts"],
        plugins: { local: { rules: { verb: verbRule } } },
        languageOptions: { parserOptions: { projectService: true } },
        rules: {
            "local/verb": "error",
            curly: ["error", "all"],
            eqeqeq: "error",
            "prefer-arrow-callback": "error",
            "one-var": ["error", "never"],
            "no-underscore-dangle": "error",
            "max-lines": ["error", { max: 300 }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: ["function", "method", "parameter"], format: ["camelCase"], leadingUnderscore: "forbid" },
            ],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/prefer-readonly": "error",
            "no-restricted-syntax": [
                "error",
                { selector: "Literal[raw='null']", message: "use undefined" },
                { selector: "ForInStatement", message: "use for...of" },
            ],
        },
    },
    {
        files: ["src/decisions/**/*.ts"],
        ignores: ["**/test.ts"],
        rules: {
            "no-restricted-imports": ["error", {
                patterns: [{
                    regex: "^(node:(?!crypto)|undici|@trpc|pino|prom-client|.*/tasks/|.*/standins/)",
                    message: "decisions have no sockets, files, logs or tasks",
                }],
            }],
            "no-restricted-globals": ["error", "setTimeout", "setInterval", "process", "performance"],
            "no-restricted-properties": [
                "error",
                { object: "Date", property: "now" },
                { object: "Math", property: "random" },
            ],
        },
    },
);
