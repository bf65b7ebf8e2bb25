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
        files: ["**/*.cjs"],
        languageOptions: {
            sourceType: "commonjs",
            globals: {
                process: "readonly",
                require: "readonly",
                module: "readonly",
                exports: "readonly",
                __dirname: "readonly",
            },
        },
        rules: { "@typescript-eslint/no-require-imports": "off" },
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
            // tRPC describes a procedure in its property `_def`.
            "no-underscore-dangle": ["error", { allow: ["_def"] }],
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
