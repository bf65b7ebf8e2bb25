import { mkdirSync } from "node:fs";
import { bundle, root } from "./bundle.mjs";

mkdirSync(`${root}target`, { recursive: true });
await bundle("platform/main.ts", `${root}target/pomelovalve.cjs`, {
    minifyWhitespace: true,
    alias: { undici: `${root}scripts/undiciSubset.mjs` },
});
