export default {
    testMatch: ["<rootDir>/{src,bench,platform}/**/{test,*.test}.ts"],
    testEnvironment: "node",
    transform: {
        "^.+\\.(t|j)s$": ["@swc/jest", { jsc: { target: "es2022", parser: { syntax: "typescript" } } }],
    },
    transformIgnorePatterns: ["/node_modules/(?!(uuid|pure-rand|cac|safe-stable-stringify)/)"],
    testTimeout: 60000,
};
