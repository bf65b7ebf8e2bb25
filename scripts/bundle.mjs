import { build } from "esbuild";
import { createRequire } from "node:module";

/** Folder of the repository, with a slash at its end. */
export const root = new URL("..", import.meta.url).pathname;

/** Version of the program. */
export const { version } = createRequire(import.meta.url)("../package.json");

/** Bundles one entry file into one CommonJS file; options go to esbuild. */
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
