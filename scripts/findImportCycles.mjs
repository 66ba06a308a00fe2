// Fails if modules of a package import each other in a cycle, including type imports, and prints each cycle.
import { readFileSync } from 'node:fs'
import { execFileSync } from 'node:child_process'
import { dirname, join, normalize } from 'node:path'
import typescript from 'typescript'

const rootDirectory = new URL('..', import.meta.url).pathname

/** Returns the cycles of a graph, each as a list that starts and ends with the same name. */
export function findCycles (graph) {
  const finished = new Set()
  const visit = (name, path) => {
    const start = path.indexOf(name)
    if (start !== -1) return [[...path.slice(start), name]]
    if (finished.has(name)) return []
    const found = (graph.get(name) ?? []).flatMap(next => visit(next, [...path, name]))
    finished.add(name)
    return found
  }
  return [...graph.keys()].flatMap(name => visit(name, []))
}

function readGraph () {
  const files = execFileSync('git', ['ls-files', '--cached', '--others', '--exclude-standard', '*.ts'], { cwd: rootDirectory, encoding: 'utf8' }).split('\n').filter(file => file !== '')
  return new Map(files.map(file => {
    const { importedFiles } = typescript.preProcessFile(readFileSync(join(rootDirectory, file), 'utf8'), true, true)
    const relative = importedFiles.map(({ fileName }) => fileName).filter(name => name.startsWith('.'))
    return [file, relative.map(name => normalize(join(dirname(file), name.replace(/\.js$/, '.ts'))))]
  }))
}

if (process.argv[1] === new URL(import.meta.url).pathname) {
  const cycles = findCycles(readGraph())
  cycles.forEach(cycle => console.error(`import cycle: ${cycle.join(' -> ')}`))
  process.exitCode = cycles.length === 0 ? 0 : 1
}
