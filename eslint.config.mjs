import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['**/lib/**', '**/generated/**', 'results/**', 'target/**', 'journal/**'] }),
  {
    rules: {
      // A process of js-csp is a generator function that may wait on nothing but its own loop.
      'require-yield': 'off',
      'no-restricted-syntax': [
        'error',
        { selector: 'ExportAllDeclaration', message: 'Name what is exported: packages have no index files.' }
      ]
    }
  },
  {
    files: ['**/src/**/*.ts'],
    rules: { 'no-restricted-imports': ['error', { patterns: ['**/index.js'] }] }
  }
]
