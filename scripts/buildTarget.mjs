import { copyFileSync, mkdirSync, rmSync } from "node:fs";
import { bundle, root } from "./bundle.mjs";
import { writeCodeCache } from "./warmUp.mjs";

/** Folder that receives the program; "target" in the repository by default. */
const target = process.argv[2] ?? `${root}target`;
const programFile = `${target}/pomelovalve.cjs`;

mkdirSync(target, { recursive: true });
rmSync(`${target}/bundle.cache`, { force: true });
await bundle("platform/main.ts", `${target}/bundle.cjs`, {
    minifyWhitespace: true,
    // What a library loads and the relay doesn't use would cost each start of a node.
    alias: {
        undici: `${root}scripts/undiciSubset.mjs`,
        "prom-client": `${root}scripts/promClientSubset.mjs`,
        "node:http2": `${root}scripts/http2Subset.mjs`,
        msgpackr: `${root}node_modules/msgpackr/index.js`,
    },
    inject: [`${root}scripts/formDataSubset.mjs`],
});
copyFileSync(`${root}scripts/cachedStart.cjs`, programFile);
try {
    await writeCodeCache(programFile);
}
catch (error) {
    process.stderr.write(`no code cache, programs start more slowly: ${error.message}\n`);
}
process.exit(0);
