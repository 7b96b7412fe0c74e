package ragwortbarrow.scenarios

import java.nio.file.Path

/** Runs the scenario files given as arguments, so that a scenario can be developed without the whole build. */
fun main(arguments: Array<String>) = arguments.map(Path::of).forEach { file ->
    runScenario(file)
    println("$file passed")
}
