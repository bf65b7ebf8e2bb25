import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, rmSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { bundle, root, version } from "./bundle.mjs";

const dist = `${root}dist`;
/** Name of the fuse in the Node.js binary that postject flips to mark the binary as containing a bundle. */
const sentinelFuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const require = createRequire(import.meta.url);

/** Builds a single executable by injecting a bundle into a copy of the running Node.js binary. */
const buildExecutable = (bundleFile, name) => {
    const configFile = `${dist}/${name}.sea.json`;
    const blobFile = `${dist}/${name}.blob`;
    const executable = `${dist}/${name}`;
    writeFileSync(
        configFile,
        JSON.stringify({
            main: `${dist}/${bundleFile}`,
            output: blobFile,
            disableExperimentalSEAWarning: true,
            useCodeCache: true,
        }),
    );
    execFileSync(process.execPath, ["--experimental-sea-config", configFile], { stdio: "pipe" });
    rmSync(executable, { force: true });
    copyFileSync(process.execPath, executable);
    chmodSync(executable, 0o755);
    execFileSync(
        process.execPath,
        [
            require.resolve("postject/dist/cli.js"),
            executable,
            "NODE_SEA_BLOB",
            blobFile,
            "--sentinel-fuse",
            sentinelFuse,
        ],
        { stdio: "pipe" },
    );
    rmSync(configFile);
    rmSync(blobFile);
};

mkdirSync(dist, { recursive: true });
await Promise.all([
    bundle("src/main.ts", `${dist}/pomelovalve.cjs`),
    bundle("src/standins/main.ts", `${dist}/standins.cjs`),
    bundle("bench/main.ts", `${dist}/bench.cjs`),
]);
buildExecutable("pomelovalve.cjs", "pomelovalve");
process.stdout.write(`built ${dist}/pomelovalve ${version}\n`);
