import { build } from "esbuild";
import { createRequire } from "node:module";

/** Path of the repository root, with a trailing slash. */
export const root = new URL("..", import.meta.url).pathname;

/** Version of the program, from package.json. */
export const { version } = createRequire(import.meta.url)("../package.json");

/** Bundles an entry file into a single CommonJS file with esbuild. `options` override the build options set here. */
export const bundle = (entry, outfile, options = {}) =>
    build({
        entryPoints: [`${root}${entry}`],
        outfile,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        minifySyntax: true,
        legalComments: "none",
        logLevel: "warning",
        define: { "process.env.POMELOVALVE_VERSION": JSON.stringify(version) },
        ...options,
    });
