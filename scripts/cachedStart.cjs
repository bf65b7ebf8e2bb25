// Starts the bundle beside this file with its code cache, which saves the compilation of functions that were used in the
// warm-up of the build. Node.js ignores a cache of another version or of other V8 flags.
const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { wrap } = require("node:module");
const { Script } = require("node:vm");

const bundleFile = `${__dirname}/bundle.cjs`;
const cacheFile = `${__dirname}/bundle.cache`;

const cachedData = existsSync(cacheFile) ? readFileSync(cacheFile) : undefined;
const script = new Script(wrap(readFileSync(bundleFile, "utf8")), { filename: bundleFile, cachedData });
script.runInThisContext()(exports, require, module, bundleFile, __dirname);

if (process.env.POMELOVALVE_WRITE_CACHE) {
    process.once("SIGUSR2", () => {
        writeFileSync(cacheFile, script.createCachedData());
        process.exit(0);
    });
}
