package io.coriandermux.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import io.coriandermux.config.InvalidTablesException;
import io.coriandermux.config.JsonDocuments;
import io.coriandermux.config.TableDocument;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;

/**
 * Changes, adds or removes one item of a table.
 */
@Command(name = "edit", mixinStandardHelpOptions = true,
		description = "Changes, adds or removes one item of the table.")
final class TableEditCommand implements Callable<Integer> {

	@ParentCommand
	private TableCommandGroup parent;

	@Mixin
	private StoreOptions store;

	@Mixin
	private StoreOptions.Owner owner;

	@Mixin
	private EditOptions edit;

	@Mixin
	private OutputOptions output;

	@Option(names = "--add", description = "Add the item; an item with this name must not exist.")
	private boolean add;

	@Option(names = "--remove", description = "Remove the item.")
	private boolean remove;

	@Parameters(index = "0", paramLabel = "NAME", description = "Name of the route or pool.")
	private String name;

	@Parameters(index = "1..*", paramLabel = "FIELD=VALUE",
			description = "Fields to set; a value that is not JSON is taken as text. An empty value removes the field.")
	private Map<String, String> fields = new LinkedHashMap<>();

	@Override
	public Integer call() throws Exception {
		if (this.remove && (this.add || !this.fields.isEmpty())) {
			throw new CliException(ExitCode.USAGE, "--remove cannot be combined with --add or fields");
		}
		try (TableStore tables = this.store.open(this.output.context())) {
			return new TableEditWorkflow(this.parent.kind(), this.owner.id(), this.edit, this.output).execute(tables,
					this::editItems);
		}
	}

	private List<JsonNode> editItems(TableDocument base) throws CliException {
		List<JsonNode> items = new ArrayList<>(base.items());
		int index = 0;
		while (index < items.size() && !items.get(index).path("name").asText().equals(this.name)) {
			index++;
		}
		boolean exists = index < items.size();
		if (exists && this.add) {
			throw new CliException(ExitCode.INVALID, this.name + " already exists");
		}
		if (!exists && !this.add) {
			throw new CliException(ExitCode.NOT_FOUND, "there is no " + this.name + "; --add creates it");
		}
		if (this.remove) {
			items.remove(index);
			return items;
		}
		ObjectNode item = exists ? items.get(index).deepCopy()
				: JsonNodeFactory.instance.objectNode().put("name", this.name);
		this.fields.forEach((field, value) -> setField(item, field, value));
		if (exists) {
			items.set(index, item);
		}
		else {
			items.add(item);
		}
		return items;
	}

	private static void setField(ObjectNode item, String field, String value) {
		if (value.isEmpty()) {
			item.remove(field);
			return;
		}
		try {
			item.set(field, JsonDocuments.parse(field, value));
		}
		catch (InvalidTablesException ex) {
			item.set(field, TextNode.valueOf(value));
		}
	}

}
