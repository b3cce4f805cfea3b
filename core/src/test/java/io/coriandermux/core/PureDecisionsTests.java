package io.coriandermux.core;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import net.jqwik.api.Example;

/**
 * Guards against decision code that depends on input and output, threads, clocks or
 * random sources: fault tests would then behave differently from a running process.
 */
class PureDecisionsTests {

	private final JavaClasses classes = new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
		.importPackages("io.coriandermux.core");

	@Example
	void coreUsesNoInputOutputThreadsClocksOrRandomSources() {
		ArchRuleDefinition.noClasses()
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("java.io", "java.nio.channels..", "java.nio.file..", "java.net..",
					"java.util.concurrent..", "java.util.logging..", "io.undertow..", "com.fasterxml..")
			.orShould()
			.dependOnClassesThat()
			.haveFullyQualifiedName("java.util.Random")
			.orShould()
			.callMethod(System.class, "nanoTime")
			.orShould()
			.callMethod(System.class, "currentTimeMillis")
			.check(this.classes);
	}

}
